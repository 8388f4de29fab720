/** HTTP server for callers, operators and the deployment's other daemons. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {ServingError, toServingError} from '../errors/index.js';
import {AddressHandler} from './AddressHandler.js';
import {REQUEST_ID_HEADER, sendError, sendJson} from './responses.js';
import {checkDeploymentKeyOrThrow, getWorkspaceOrThrow} from './authentication.js';
import {CompletionHandler} from './CompletionHandler.js';
import {HandedRequestHandler} from './HandedRequestHandler.js';
import {HANDED_REQUEST_PATH} from './handedRequestPath.js';
import {HandedRequestRuns} from './HandedRequestRuns.js';
import {OperatorHandler} from './OperatorHandler.js';
import {PlainHandler} from './PlainHandler.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';

/** Value of the `workspace` metric tag for requests that were refused before authentication. */
const UNKNOWN_WORKSPACE_LABEL = 'unknown';
/** Shared abort reason, since `abort()` without a reason creates an exception on each call. */
const CALLER_DISCONNECTED = new ServingError('the caller disconnected', {kind: 'internal'});
const HEADERS_TIMEOUT_MS = 10_000;
/** Interval at which Node checks connections for the headers timeout. */
const HEADERS_CHECK_INTERVAL_MS = 1_000;
/** Limit for all headers of a request together; Node answers larger ones with status 431. */
const MAX_HEADER_BYTES = 16_384;
const SERVICE_PATH = /^\/v1\/services\/([a-z0-9-]+)(\/.*)$/;

/** Options of a `CallerHttpServer`. */
export interface CallerHttpServerOptions {
  readonly context: HandlerContext;
  /** IP address to listen on. */
  readonly address: string;
  /** Port to listen on; 0 lets the operating system choose one. */
  readonly port: number;
}

/** Authenticates requests, routes them to their handlers by path, and sends the errors that handlers throw. */
export class CallerHttpServer {
  private readonly options: CallerHttpServerOptions;
  private readonly server: Server;
  private readonly completionHandler: CompletionHandler;
  private readonly plainHandler: PlainHandler;
  private readonly addressHandler: AddressHandler;
  private readonly operatorHandler: OperatorHandler;
  private readonly handedRuns: HandedRequestRuns;
  private readonly handedRequestHandler: HandedRequestHandler;
  private openCount = 0;

  constructor(options: CallerHttpServerOptions) {
    this.options = options;
    const {context} = options;
    this.completionHandler = new CompletionHandler(context);
    this.plainHandler = new PlainHandler(context);
    this.addressHandler = new AddressHandler(context);
    this.operatorHandler = new OperatorHandler(context);
    this.handedRuns = new HandedRequestRuns(context);
    this.handedRequestHandler = new HandedRequestHandler(context, this.handedRuns);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: HEADERS_CHECK_INTERVAL_MS,
        requestTimeout: 0,
      },
      (request, response) => void this.serve(request, response),
    );
  }

  /** Starts to listen; rejects if the port can't be bound. */
  async start(): Promise<void> {
    const {address, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Returns the bound port, also where the operating system chose it; valid once the server listens. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the runs of requests that stopping entries handed over to this one. */
  getHandedRequestRuns(): HandedRequestRuns {
    return this.handedRuns;
  }

  /**
   * Returns the number of requests of callers that are being handled; address lookups and operators' calls don't count.
   */
  getOpenRequestCount(): number {
    return this.openCount;
  }

  /** Closes the port and all connections, also those with open requests. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const {context} = this.options;
    const requestId = context.createId();
    response.setHeader(REQUEST_ID_HEADER, requestId);
    let workspace = UNKNOWN_WORKSPACE_LABEL;
    try {
      const url = new URL(request.url ?? '/', 'http://entry');
      if (await this.serveOperator(request, response, url)) return;
      const caller = this.createCallerRequest(request, response, url, requestId);
      workspace = caller.workspace.name;
      await this.serveCaller(caller);
    } catch (error) {
      const servingError = withCheckedRun(toServingError(error), request);
      context.metrics.addCount('request.errors', {kind: servingError.kind, workspace});
      sendError(response, servingError, requestId);
      if (!request.complete) request.resume();
    }
  }

  private async serveOperator(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<boolean> {
    if (url.pathname === '/health') {
      sendJson(response, 200, {status: 'ok'});
      return true;
    }
    const handler = this.operatorHandler.getHandler(url);
    if (!handler) return false;
    checkDeploymentKeyOrThrow(request, this.options.context.deploymentKeys);
    handler(response);
    return true;
  }

  private createCallerRequest(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    requestId: string,
  ): CallerRequest {
    const {context} = this.options;
    const {configuration} = context.blackboard.getSection('configuration');
    if (!configuration) {
      throw new ServingError('this entry has no configuration yet', {
        kind: 'configuration-unknown',
      });
    }
    const workspace = getWorkspaceOrThrow(request, configuration, context.getNowMs());
    const disconnected = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) disconnected.abort(CALLER_DISCONNECTED);
    });
    return {
      request,
      response,
      url,
      requestId,
      workspace,
      configuration,
      signal: disconnected.signal,
    };
  }

  private async serveCaller(caller: CallerRequest): Promise<void> {
    const {url, request} = caller;
    const {pathname, search} = url;
    if (request.method === 'GET' && pathname === '/v1/addresses') {
      this.addressHandler.handle(caller);
      return;
    }
    const handedMatch = HANDED_REQUEST_PATH.exec(pathname);
    if (!handedMatch) this.options.context.checkAccepting();
    this.openCount += 1;
    try {
      if (handedMatch) await this.handedRequestHandler.handle(caller, handedMatch[1]);
      else await this.routeRequest(caller, pathname, search);
    } finally {
      this.openCount -= 1;
    }
  }

  private async routeRequest(
    caller: CallerRequest,
    pathname: string,
    search: string,
  ): Promise<void> {
    const isPost = caller.request.method === 'POST';
    if (isPost && pathname === '/v1/chat/completions') {
      return this.completionHandler.handle(caller, 'chat');
    }
    if (isPost && pathname === '/v1/completions')
      return this.completionHandler.handle(caller, 'text');
    const match = SERVICE_PATH.exec(pathname);
    if (match) return this.plainHandler.handle(caller, match[1], match[2] + search);
    throw new ServingError(`no route for ${caller.request.method ?? ''} ${pathname}`, {
      kind: 'not-found',
    });
  }
}

/**
 * Changes `run` from `not-run` to `unknown` for a request with an idempotency key, unless the error was thrown with
 * knowledge of the key's claim: an earlier request with the same key may have been executed.
 */
function withCheckedRun(error: ServingError, request: IncomingMessage): ServingError {
  const isKeyed = request.headers['idempotency-key'] !== undefined;
  if (!isKeyed || error.run !== 'not-run' || error.hasExplicitRun) return error;
  const {kind, retryAfterMs, message} = error;
  return new ServingError(message, {kind, retryAfterMs, run: 'unknown', cause: error});
}
