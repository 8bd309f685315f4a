#!/bin/sh
"$(dirname "$0")"/../lib-2/run.sh 4 late-start-after-restart
