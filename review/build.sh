#!/bin/sh
# Builds the program of each script, which holds its clients and stand-ins.
set -e
cd "$(dirname "$0")/.."
for folder in review/[1-5]; do
	if [ -f "$folder/main.go" ]; then
		go build -o review/bin/ "./$folder"
	fi
done
