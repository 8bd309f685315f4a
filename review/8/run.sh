#!/bin/sh
"$(dirname "$0")"/../lib-2/run.sh 8 given-up-then-cancelled
