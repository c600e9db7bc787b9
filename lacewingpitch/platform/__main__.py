"""Entry point of the daemons on the platform."""

import importlib
import signal

# Importing the modules takes half a second, during which a SIGHUP, the signal
# to reload the settings, would end the process.  The settings are read later
# in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == '__main__':
    importlib.import_module('lacewingpitch.platform.command_line').main()
