#!/usr/bin/env bash
# Guards against a command line that reports a mistake with the wrong exit
# status, on the wrong stream or without naming it. Needs build/masticmux.
set -u
export LC_ALL=C.UTF-8
cd "$(dirname "$0")/.." || exit 1
program=build/masticmux
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

# expect STATUS STREAM TEXT ARGUMENT...: TEXT is a line of the stream.
expect() {
	local status=$1 stream=$2 text=$3 found
	shift 3
	"$program" "$@" >"$work/stdout" 2>"$work/stderr"
	found=$?
	if [ "$found" -ne "$status" ] ||
		! grep -Fxq -- "$text" "$work/$stream"; then
		echo "FAIL masticmux $*: status $found, expected $status and"
		echo "on $stream: $text"
		cat "$work/stdout" "$work/stderr"
		failures=$((failures + 1))
	fi
}

bad=$work/bad.toml
printf '[node]\nname = 1\n' >"$bad"
good=examples/siamfrost-settings.toml

expect 0 stdout "  check      check a settings file and a change file" --help
expect 0 stdout "  masticmux check [OPTION…]" check --help
expect 1 stderr "masticmux: missing command"
expect 1 stderr "masticmux: unknown command 'chekc'; did you mean 'check'?" \
	chekc
expect 1 stderr "masticmux: unknown command 'x'" x
expect 1 stderr "masticmux: Unknown option --x" --x
expect 1 stderr "masticmux check: missing option --settings" check
expect 1 stderr "masticmux check: Missing argument for --settings" \
	check --settings
expect 1 stderr "masticmux check: Unknown option --x" check --x
expect 1 stderr "masticmux check: unexpected argument 'x'" \
	check --settings "$good" x
expect 1 stderr \
	"masticmux check: cannot read $work/none: No such file or directory" \
	check --settings "$work/none"
expect 1 stderr "masticmux check: cannot read $work: Is a directory" \
	check --settings "$good" --change "$work"
expect 2 stdout "$bad:0:0: missing key 'listen', which must be a table with \
callers, nodes, announce and operator" check --settings "$bad"
expect 2 stdout "$bad:1:2: unknown key 'node'; valid keys: change, template, \
service, account" check --settings "$good" --change "$bad"
for customer in chainring siamfrost; do
	expect 0 stdout "no findings" check \
		--settings "examples/$customer-settings.toml" \
		--change "examples/$customer-change.toml"
done
expect 1 stderr "masticmux status: missing option --settings" status
expect 2 stderr "$bad:0:0: missing key 'listen', which must be a table with \
callers, nodes, announce and operator" status --settings "$bad"
expect 1 stderr "masticmux stop: missing option --target" \
	stop --settings "$good"
expect 1 stderr "masticmux stop: --timeout takes 1 to 3600 seconds" \
	stop --settings "$good" --target t --timeout 0
expect 1 stderr "masticmux explain: give either --request or --target" \
	explain --settings "$good"
expect 1 stderr "masticmux explain: give either --request or --target" \
	explain --settings "$good" --request 1 --target t

# The platform gives bounds as whole numbers or as fractions; each of them must
# leave the filled-in template of the deployment without a finding.
whole() {
	case $1 in
	graceS) echo 6 ;;
	budgetWindowS) echo 10 ;;
	retryBudgetBase) echo 60 ;;
	retryBudgetRatio | floorShare | quotaOvershoot) echo 1 ;;
	quotaWindowS) echo 5 ;;
	quotaSlack) echo 20 ;;
	esac
}
fraction() {
	case $1 in
	graceS) echo 6.25 ;;
	budgetWindowS) echo 10.5 ;;
	retryBudgetBase) echo 60.5 ;;
	retryBudgetRatio) echo 0.125 ;;
	floorShare) echo 0.705 ;;
	quotaWindowS) echo 5.5 ;;
	quotaOvershoot) echo 0.1 ;;
	quotaSlack) echo 20.5 ;;
	esac
}

template=deploy/settings.toml.template
bounds=$(grep -o '#bounds\.[A-Za-z]*' "$template" | cut -d. -f2)
if [ -z "$bounds" ]; then
	echo "FAIL $template: no bounds found"
	failures=$((failures + 1))
fi
# fill BOUND VALUE: the template with this value, the others as whole numbers.
fill() {
	local bound value text
	text=$(sed -e 's/{{nodeName}}/node-1/; s/{{region}}/north/' \
		-e 's/{{zone}}/north-a/; s/{{service}}/tills/' \
		-e 's/{{appAddr}}/127.0.0.1:8301/' \
		-e 's/{{listen.outbound}}/127.0.0.1:8304/' \
		-e 's/{{ip}}:{{internalPorts.0}}/127.0.0.1:7620/' \
		-e 's/{{listen.control}}/127.0.0.1:8306/' \
		-e 's/{{listen.ready}}/127.0.0.1:8302/; s/{{ip}}/127.0.0.1/' \
		-e 's/{{platform.address}}/127.0.0.1:8309/' "$template")
	for bound in $bounds; do
		value=$(whole "$bound")
		[ "$bound" = "$1" ] && value=$2
		text=$(printf '%s\n' "$text" | sed \
			"s/{{#bounds.$bound}}\(.*\){{\.}}{{.bounds.$bound}}/\1$value/")
	done
	printf '%s\n' "$text"
}
for bound in $bounds; do
	for value in "$(whole "$bound")" "$(fraction "$bound")"; do
		file=$work/$bound-$value.toml
		fill "$bound" "$value" >"$file"
		if [ -z "$value" ] || grep -q '{{' "$file"; then
			echo "FAIL $bound: the template cannot be filled in"
			failures=$((failures + 1))
		fi
		expect 0 stdout "no findings" check --settings "$file"
	done
done
[ "$failures" -eq 0 ] && echo "command line: all cases passed"
[ "$failures" -eq 0 ]
