/**
 * The parts of undici that the program of a fleet uses. The whole package also
 * has fetch, web sockets, caches and mocks, and their evaluation takes more CPU
 * time at the start of a process than all else.
 */
import * as api from "undici/lib/api/index.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import Pool from "undici/lib/dispatcher/pool.js";
import buildConnector from "undici/lib/core/connect.js";
import errors from "undici/lib/core/errors.js";
import DecoratorHandler from "undici/lib/handler/decorator-handler.js";

// As the package itself does.
Dispatcher.prototype.request = api.request;

export { buildConnector, Client, DecoratorHandler, Dispatcher, errors, Pool };
