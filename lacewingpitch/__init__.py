"""A serving layer for large numbers of LoRA adapters."""

__version__ = '0.1.0'
