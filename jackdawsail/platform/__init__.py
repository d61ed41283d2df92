"""Decoders and encoders for the message formats of the users' platform.

Each module converts one kind of message to or from the types of the other folders.
It makes no decisions, and only this folder uses the platform's names.
"""
