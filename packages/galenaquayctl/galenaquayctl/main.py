"""Entry point of the command line `galenaquayctl`."""

import click

from . import bench_command
from . import caller_commands
from . import capacity_command
from . import config_commands
from . import load_command
from . import operator_commands
from . import traces


@click.group(
    epilog='Example: galenaquayctl status',
    context_settings={'help_option_names': ['-h', '--help']},
)
@click.version_option(package_name='galenaquayctl')
def main() -> None:
    """Watches, explains, loads and measures galenaquay."""


main.add_command(config_commands.config)
main.add_command(operator_commands.status)
main.add_command(operator_commands.explain)
main.add_command(caller_commands.ask)
main.add_command(load_command.load)
main.add_command(traces.trace)
main.add_command(bench_command.bench)
main.add_command(capacity_command.capacity)

if __name__ == '__main__':
    main()
