#!/bin/sh
"$(dirname "$0")"/../lib-2/run.sh 6 advice-after-burst
