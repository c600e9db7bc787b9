"""Starts a daemon on the platform."""

import importlib
import signal

# Reading the modules takes half a second, in which a signal to read the
# settings again would end the process; they are read after it anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if __name__ == '__main__':
    importlib.import_module('lacewingpitch.platform.command_line').main()
