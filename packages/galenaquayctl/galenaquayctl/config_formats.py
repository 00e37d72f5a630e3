"""The forms of a configuration that can be checked.

A module that connects the product to a hosting platform defines the form of
the configuration used there, with the parser of its entry processes. Such a
module need not be installed.
"""

import importlib
import importlib.util
from typing import Any, Final

from galenaquay.configuration import findings

# Modules whose constant `FORMAT` describes a form.
FORMAT_MODULES: Final = (
    'galenaquay.document_format',
    'galenaquay_platform.config_format',
)


def find(value: Any) -> findings.Format | None:
    """Returns the form of a file, None if no form recognizes it.

    Args:
        value: The content of the file, decoded.
    """
    for name in FORMAT_MODULES:
        if importlib.util.find_spec(name.partition('.')[0]) is None:
            continue
        config_format: findings.Format = importlib.import_module(name).FORMAT
        if config_format.recognizes(value):
            return config_format
    return None
