#!/bin/sh
"$(dirname "$0")"/../lib-2/run.sh 5 late-behind-hopeless
