#!/bin/sh
# The cases of the second review are days of the bench: no script starts a stand-in, so there is nothing to build.
exit 0
