"""Distributes new model weights to all engines while live requests keep their fair shares."""

__version__ = '0.1.0'
