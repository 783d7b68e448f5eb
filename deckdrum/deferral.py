"""Lazy import of standard library modules.

curio imports modules that only its bridges to threads, processes and other
event loops need, which a node never uses.  Loading them on first use shortens
the restart of a node.

`importlib.util.LazyLoader` is not usable here: each import statement in
CPython 3.11 reads the module's ``__spec__``, which already loads the module.
"""

import sys
from collections.abc import Iterable
from functools import partial
from importlib import import_module
from types import ModuleType
from typing import Any, Final

#: Modules that curio imports and a node does not use.  Others that a node does
#: not use cannot be deferred, since curio accesses them during its import.
UNUSED_BY_NODES: Final = ('asyncio',)


def defer_imports(names: Iterable[str]) -> None:
    """Defer loading of modules until an attribute of them is first used.

    Modules that are already loaded are unaffected.  A module that does not
    exist raises its error at the first use.

    Parameters
    ----------
    names : iterable of str
        Names of top-level modules.
    """
    for name in names:
        if name not in sys.modules:
            placeholder = ModuleType(name)
            load = partial(_load, placeholder)
            placeholder.__getattr__ = load  # type: ignore[method-assign]
            sys.modules[name] = placeholder


def _load(placeholder: ModuleType, attribute: str) -> Any:
    """Load the module behind a placeholder and return one of its attributes."""
    name = placeholder.__name__
    if sys.modules.get(name) is placeholder:
        sys.modules.pop(name)
    module = import_module(name)
    placeholder.__dict__.update(module.__dict__)
    return getattr(module, attribute)
