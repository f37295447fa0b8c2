"""Starts the project's stand-in of the platform's store on a given address."""

import argparse

from aiohttp import web

from standins.platform import make_app

if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    web.run_app(make_app(), host=options.host, port=options.port, print=None)
