"""Loading modules of the standard library at their first use.

curio imports what only its bridges to threads, processes and other event
loops need, which a node never uses.  A node that lost power answers nobody
while it imports, so these modules wait until something of them is asked for.

`importlib.util.LazyLoader` does not serve here: CPython 3.11 looks at the
specification of a module at each import of it, which already loads it.
"""

import sys
from collections.abc import Iterable
from functools import partial
from importlib import import_module
from types import ModuleType
from typing import Any, Final

#: What curio imports and a node does not use; all else that it does not use,
#: curio looks into while it is imported.
UNUSED_BY_NODES: Final = ('asyncio',)


def defer_imports(names: Iterable[str]) -> None:
    """Have modules loaded when something of them is first used.

    Those that are loaded already stay as they are.  A name without a module
    is found out at the first use.

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
    """Load the module of a placeholder, and return an attribute of it."""
    name = placeholder.__name__
    if sys.modules.get(name) is placeholder:
        sys.modules.pop(name)
    module = import_module(name)
    placeholder.__dict__.update(module.__dict__)
    return getattr(module, attribute)
