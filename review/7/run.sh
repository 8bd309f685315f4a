#!/bin/sh
"$(dirname "$0")"/../lib-2/run.sh 7 removed-route
