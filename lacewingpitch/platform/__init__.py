"""Translates the users' platform into the product's types.

Names of the platform's messages, headers and settings stand in this
folder and nowhere else.  It decides nothing: what is done with what it
decodes is up to the modules beside it.
"""
