# Shared by the scripts: package installation.

PACKAGES="g++ make pkg-config clang-format clang-tidy curl libevent-dev
	libevhtp-dev libtirpc-dev libglib2.0-dev libssl-dev libxxhash-dev
	libjansson-dev libtomlplusplus-dev libcunit1-dev liblua5.4-dev"

install_packages() {
	local missing="" name
	for name in $PACKAGES; do
		dpkg -s "$name" >/dev/null 2>&1 || missing="$missing $name"
	done
	[ -z "$missing" ] && return 0
	apt-get update -q
	# shellcheck disable=SC2086
	DEBIAN_FRONTEND=noninteractive apt-get install -q -y \
		--no-install-recommends $missing
}
