"""Weight distribution for bursts: new models to every engine while live requests stay fair."""

__version__ = '0.1.0'
