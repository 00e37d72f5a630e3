"""Command line of the entry process."""

import pathlib
import sys
from typing import Final

import click

from . import settings as settings_module

# Exit status of a command whose settings file is invalid.
EXIT_INVALID_SETTINGS: Final = 2

_SETTINGS_OPTION: Final = click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="The VM's settings, in YAML.",
)


@click.group(
    epilog='Example: galenaquay serve --settings vm.yaml',
    context_settings={'help_option_names': ['-h', '--help']},
)
@click.version_option(package_name='galenaquay')
def main() -> None:
    """The entry process of galenaquay."""


@main.command(
    epilog='Example: galenaquay serve --settings vm.yaml',
)
@_SETTINGS_OPTION
def serve(path: pathlib.Path) -> None:
    """Serves callers until SIGTERM."""
    settings = _load_or_exit(path)
    # Imported here, so that check-settings does not import the server.
    from . import serve as serve_module
    from .adapters import logs
    from .adapters import tracing

    logs.start_logging(
        settings.telemetry.log_level, settings.vm_id, settings.zone
    )
    tracing.start_tracing(settings.telemetry.trace_share)
    serve_module.run(settings)


@main.command(
    'check-settings',
    epilog='Example: galenaquay check-settings --settings vm.yaml',
)
@_SETTINGS_OPTION
def check_settings(path: pathlib.Path) -> None:
    """Checks a settings file and prints all of its errors."""
    settings = _load_or_exit(path)
    click.echo(f'{path}: settings of {settings.vm_id} are good')


def _load_or_exit(path: pathlib.Path) -> settings_module.Settings:
    loaded = settings_module.load_settings(path)
    if isinstance(loaded, settings_module.Settings):
        return loaded
    for error in loaded:
        click.echo(str(error), err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


if __name__ == '__main__':
    main()
