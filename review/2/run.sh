#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case couldn't run. With TROUBLE=0 no connection goes silent.
cd "$(dirname "$0")/../.." || exit 2
for program in camphorrack-dispatcher camphorrack-runner review/harness; do
	if [ ! -x "target/$program" ]; then
		echo "target/$program is missing: run the build of deploy/system.toml and review/build.sh" >&2
		exit 2
	fi
done
exec target/review/harness silent-connections target review/2/record.txt
