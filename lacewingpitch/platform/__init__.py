"""Adapter between the users' platform and the types of this project.

Names of the platform's messages, headers and settings appear only in this
package.  It contains no policy: decisions about what it decodes are made
by the modules of the parent package.
"""
