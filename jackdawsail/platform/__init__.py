"""Where the product meets its users' platform: names, formats and calls.

Each module decodes one kind of message into the product's own types, or encodes
one. Nothing here decides anything, and nothing outside knows these names.
"""
