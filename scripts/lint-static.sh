#!/bin/sh
# House style that clang-tidy cannot express: the name of a static function
# ends in an underscore. Prints each breach and fails if there is one.
cd "$(dirname "$0")/.." || exit 1
found=$(grep -nE '^static [^=;]*[a-z0-9]\(' $(git ls-files -co --exclude-standard \
	'src/*.c' 'test/*.c' 'bench/*.c') | grep -v '__attribute__')
[ -z "$found" ] && exit 0
echo "static function without trailing underscore:"
echo "$found"
exit 1
