#!/bin/sh
"$(dirname "$0")"/../lib-2/run.sh 4 oversized-progress
