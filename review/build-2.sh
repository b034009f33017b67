#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2, after the build of
# the deploy file (deploy/system.toml), whose libraries it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages="glib-2.0 jansson libmicrohttpd openssl"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -Wno-missing-field-initializers"
flags="$flags -D_GNU_SOURCE -DPW_VERSION=\"review\" -Icore/include -Icodec/include"
# shellcheck disable=SC2086,SC2046
cc $flags $(pkg-config --cflags $packages) -o "$out/standin-platform" standins/platform/*.c \
	target/codec/libpw_codec.a target/core/libpw_core.a $(pkg-config --libs $packages) \
	-lck -lm -lpthread
# shellcheck disable=SC2086
cc $flags -o "$out/tool" review/common-2/tool.c review/common-2/line.c
for case in review/[6-9] review/10; do
	for source in "$case"/*.c; do
		[ -e "$source" ] || continue
		# shellcheck disable=SC2086
		cc $flags -o "$out/$(basename "$case")-$(basename "$source" .c)" \
			"$source" review/common-2/line.c -lpthread
	done
done
