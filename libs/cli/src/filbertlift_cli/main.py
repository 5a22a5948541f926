"""The operator's command line, `filbertlift`."""

from collections.abc import Sequence
import pathlib
import sys
import time
from typing import Annotated
from typing import Any

import typer

from filbertlift_cli import check as checks
from filbertlift_cli import explain as explaining
from filbertlift_cli import intent as intents
from filbertlift_cli import keyfiles
from filbertlift_cli import output
from filbertlift_cli import publish as publishing
from filbertlift_cli import reports
from filbertlift_cli import runtime
from filbertlift_cli import settings
from filbertlift_cli import tree as trees
from filbertlift_config import head as heads
from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_store import http
from filbertlift_store import interface
from filbertlift_store import snapshots

app = typer.Typer(
    help="Checks and publishes the configuration of a filbertlift mesh.",
    add_completion=False,
    no_args_is_help=False,
)

TreeArgument = Annotated[
    pathlib.Path,
    typer.Argument(help="Folder that is searched for filbertlift.toml."),
]
Flag = str | None


def _option(name: str) -> Any:
    return typer.Option(help=settings.describe(name))


StoreOption = Annotated[Flag, _option("store")]
ClusterOption = Annotated[Flag, _option("cluster")]
NodeOption = Annotated[Flag, _option("node")]


@app.command()
def check(tree: TreeArgument) -> None:
    """Reports every error of the files; exit status 0, or 10 with errors."""
    raise typer.Exit(checks.run_check(tree, output.make_output()))


@app.command()
def publish(
    tree: TreeArgument,
    store: StoreOption = None,
    cluster: ClusterOption = None,
    only: Annotated[
        list[str] | None,
        typer.Option(help="Publish only this section; repeatable."),
    ] = None,
    remove: Annotated[
        list[str] | None,
        typer.Option(help="Remove this section; repeatable."),
    ] = None,
    replace: Annotated[
        list[str] | None,
        typer.Option(
            help="Publish this section over changes by others; repeatable."
        ),
    ] = None,
    publication: Annotated[Flag, _option("publication")] = None,
    wait: Annotated[
        bool, typer.Option(help="Wait until it is in force everywhere.")
    ] = False,
    node: NodeOption = None,
    wait_limit: Annotated[Flag, _option("wait_limit")] = None,
) -> None:
    """Publishes the files as one version.

    Exit status: 0 accepted (with --wait: and in force everywhere), 10
    rejected, 11 conflict, 12 unknown, 64 wrong use.
    """
    flags = {
        "store": store,
        "cluster": cluster,
        "publication": publication,
        "wait_limit": wait_limit,
    }
    if wait:
        flags["node"] = node
    values = settings.read(flags)
    options = publishing.Options(
        tree,
        values["store"],
        values["cluster"],
        intents.Scope(
            frozenset(only or ()),
            frozenset(remove or ()),
            frozenset(replace or ()),
        ),
        values["publication"],
        values.get("node"),
        values["wait_limit"],
    )
    out = output.make_output()
    tree_and_base = publishing.load_tree(options, out)
    if tree_and_base is None:
        raise typer.Exit(env.EXIT_REJECTED)
    parsed_tree, recorded_base = tree_and_base
    status = runtime.run_command(
        lambda reactor: publishing.run_publish(
            reactor, options, parsed_tree, recorded_base, out
        ),
        out,
    )
    raise typer.Exit(status)


@app.command()
def diff(
    tree: TreeArgument,
    store: StoreOption = None,
    cluster: ClusterOption = None,
) -> None:
    """Shows how the files differ from the store's version."""
    values = settings.read({"store": store, "cluster": cluster})
    out = output.make_output()
    parsed_tree = trees.read_tree(tree)
    if parsed_tree.problems:
        out.print_problems(parsed_tree.problems)
        raise typer.Exit(env.EXIT_REJECTED)

    async def run(reactor: Any) -> int:
        store_client = http.make_http_store(reactor, values["store"])
        loaded = await snapshots.fetch_current(
            store_client,
            values["cluster"],
            known=intents.collect_known_sections(parsed_tree),
        )
        lines = reports.compare(loaded.snapshot.sections, parsed_tree.sections)
        out.print_line(f"version {loaded.snapshot.version}")
        for line in lines:
            out.print_line(line)
        return env.EXIT_OK

    raise typer.Exit(runtime.run_command(run, out))


@app.command()
def history(store: StoreOption = None, cluster: ClusterOption = None) -> None:
    """Lists the last 64 versions with the ids of their publications."""
    values = settings.read({"store": store, "cluster": cluster})
    out = output.make_output()
    status = runtime.run_command(
        lambda reactor: reports.print_history(
            http.make_http_store(reactor, values["store"]),
            values["cluster"],
            out,
        ),
        out,
    )
    raise typer.Exit(status)


@app.command()
def status(
    node: NodeOption = None,
    store: StoreOption = None,
    cluster: ClusterOption = None,
) -> None:
    """Tells whether the accepted version is in force everywhere.

    With --store it is the store's version, else the newest that a node has.
    Exit status: 0 everywhere, 12 not everywhere or not known.
    """
    flags = {"node": node, "cluster": cluster}
    if settings.is_given("store", store):
        flags["store"] = store
    values = settings.read(flags)
    out = output.make_output()

    async def run(reactor: Any) -> int:
        version = None
        if "store" in values:
            store_client = http.make_http_store(reactor, values["store"])
            entry = await store_client.get(
                interface.head_key(values["cluster"])
            )
            if entry is not None:
                version = heads.decode_head(entry.value).version
        query = reports.StatusQuery(values["node"], version)
        result: int = await reports.print_status(reactor, query, out)
        return result

    raise typer.Exit(runtime.run_command(run, out))


@app.command()
def dump(node: NodeOption = None) -> None:
    """Prints the state of one node as JSON."""
    values = settings.read({"node": node})
    out = output.make_output()
    exit_status = runtime.run_command(
        lambda reactor: reports.print_dump(reactor, values["node"], out),
        out,
    )
    raise typer.Exit(exit_status)


@app.command()
def explain(
    host: Annotated[str, typer.Argument(help="Host name of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    method: Annotated[str, typer.Option(help="Method of the request.")] = "GET",
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the page as JSON.")
    ] = False,
    node: NodeOption = None,
) -> None:
    """Shows where a node would send a request now, without sending it."""
    values = settings.read({"node": node})
    out = output.make_output()
    query = explaining.Query(values["node"], host, path, method, as_json)
    exit_status = runtime.run_command(
        lambda reactor: explaining.print_explanation(reactor, query, out), out
    )
    raise typer.Exit(exit_status)


@app.command()
def keygen(
    path: Annotated[
        pathlib.Path, typer.Argument(help="New file for the private key.")
    ],
) -> None:
    """Writes a new private key to a file and prints its public key."""
    out = output.make_output()
    raise typer.Exit(keyfiles.generate_key_file(path, out))


@app.command()
def token(
    path: Annotated[
        pathlib.Path, typer.Argument(help="File with the private key.")
    ],
    caller: Annotated[Flag, _option("caller")] = None,
    lifetime: Annotated[Flag, _option("lifetime")] = None,
) -> None:
    """Prints a token signed with the key in a file."""
    values = settings.read({"caller": caller, "lifetime": lifetime})
    out = output.make_output()
    raise typer.Exit(
        keyfiles.print_token(
            path, values["caller"], values["lifetime"], time.time(), out
        )
    )


def main(arguments: Sequence[str]) -> int:
    """Runs a command line; returns the exit status."""
    try:
        result = app(list(arguments), standalone_mode=False)
    except typer.TyperException as error:
        sys.stderr.write(f"filbertlift: {error}\n")
        return env.EXIT_USAGE
    except exceptions.SettingError as error:
        sys.stderr.write(f"filbertlift: {error}\n")
        return env.EXIT_USAGE
    except exceptions.FilbertliftError as error:
        sys.stderr.write(f"filbertlift: {error}\n")
        return env.EXIT_FAILURE
    return result if isinstance(result, int) else env.EXIT_OK


def run() -> None:
    """Entry point of `filbertlift`."""
    sys.exit(main(sys.argv[1:]))
