"""Imported by Python at the start of processes that have this directory on their path."""

from fakes.socket_monitor import install_from_environment

install_from_environment()
