/** The HTTP server towards callers and operators. */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {ServingError, toServingError} from '../errors/index.js';
import {AddressHandler} from './AddressHandler.js';
import {REQUEST_ID_HEADER, sendError, sendJson} from './Answers.js';
import {checkDeploymentKey, getWorkspaceOrThrow} from './Authenticator.js';
import {CompletionHandler} from './CompletionHandler.js';
import {HandedHandler} from './HandedHandler.js';
import {HANDED_PATH} from './handedPath.js';
import {HandedRuns} from './HandedRuns.js';
import {OperatorHandler} from './OperatorHandler.js';
import {PlainHandler} from './PlainHandler.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';

/** Label of requests that were refused before their workspace was known. */
const UNKNOWN_WORKSPACE = 'unknown';
/** Made once, since an abort without a reason makes an exception each time. */
const CALLER_GONE = new ServingError('the caller has gone', {kind: 'internal'});
const HEADERS_TIMEOUT_MS = 10_000;
/** Time between looks for connections whose headers take too long. */
const HEADERS_CHECK_INTERVAL_MS = 1_000;
const MAX_HEADER_BYTES = 16_384;
const SERVICE_PATH = /^\/v1\/services\/([a-z0-9-]+)(\/.*)$/;

/** Options of a `CallersServer`. */
export interface CallersServerOptions {
  readonly context: HandlerContext;
  /** IP number to listen on. */
  readonly address: string;
  readonly port: number;
}

/** Reads requests, finds whose they are, and hands them to their handlers. */
export class CallersServer {
  private readonly options: CallersServerOptions;
  private readonly server: Server;
  private readonly completions: CompletionHandler;
  private readonly plain: PlainHandler;
  private readonly addresses: AddressHandler;
  private readonly operators: OperatorHandler;
  private readonly handedRuns: HandedRuns;
  private readonly handed: HandedHandler;
  private openCount = 0;

  constructor(options: CallersServerOptions) {
    this.options = options;
    const {context} = options;
    this.completions = new CompletionHandler(context);
    this.plain = new PlainHandler(context);
    this.addresses = new AddressHandler(context);
    this.operators = new OperatorHandler(context);
    this.handedRuns = new HandedRuns(context);
    this.handed = new HandedHandler(context, this.handedRuns);
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

  /** Starts listening. */
  async start(): Promise<void> {
    const {address, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
  }

  /** Returns the port that the server listens on. */
  getPort(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Returns the requests that other entries handed to this one. */
  getHandedRuns(): HandedRuns {
    return this.handedRuns;
  }

  /** Returns how many callers' requests are open. */
  getOpenCount(): number {
    return this.openCount;
  }

  /** Closes the port and all connections. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const {context} = this.options;
    const requestId = context.createId();
    response.setHeader(REQUEST_ID_HEADER, requestId);
    let workspace = UNKNOWN_WORKSPACE;
    try {
      const url = new URL(request.url ?? '/', 'http://entry');
      if (await this.serveOperator(request, response, url)) return;
      const caller = this.createCallerRequest(request, response, url, requestId);
      workspace = caller.workspace.name;
      await this.serveCaller(caller);
    } catch (error) {
      const servingError = withTrueRun(toServingError(error), request);
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
    const handler = this.operators.getHandler(url);
    if (!handler) return false;
    checkDeploymentKey(request, this.options.context.deploymentKeys);
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
    const gone = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) gone.abort(CALLER_GONE);
    });
    return {request, response, url, requestId, workspace, configuration, signal: gone.signal};
  }

  private async serveCaller(caller: CallerRequest): Promise<void> {
    const {url, request} = caller;
    const {pathname, search} = url;
    if (request.method === 'GET' && pathname === '/v1/addresses') {
      this.addresses.handle(caller);
      return;
    }
    const handed = HANDED_PATH.exec(pathname);
    if (!handed) this.options.context.checkAccepting();
    this.openCount += 1;
    try {
      if (handed) await this.handed.handle(caller, handed[1]);
      else await this.serveWork(caller, pathname, search);
    } finally {
      this.openCount -= 1;
    }
  }

  private async serveWork(caller: CallerRequest, pathname: string, search: string): Promise<void> {
    const isPost = caller.request.method === 'POST';
    if (isPost && pathname === '/v1/chat/completions') {
      return this.completions.handle(caller, 'chat');
    }
    if (isPost && pathname === '/v1/completions') return this.completions.handle(caller, 'text');
    const match = SERVICE_PATH.exec(pathname);
    if (match) return this.plain.handle(caller, match[1], match[2] + search);
    throw new ServingError(`there is no ${caller.request.method ?? ''} ${pathname}`, {
      kind: 'not-found',
    });
  }
}

/**
 * Returns the error with a `run` that is true of a request whose key may have been used before: only an error that was
 * thrown with knowledge of the key may say "not run".
 */
function withTrueRun(error: ServingError, request: IncomingMessage): ServingError {
  const isKeyed = request.headers['idempotency-key'] !== undefined;
  if (!isKeyed || error.run !== 'not-run' || error.isRunKnown) return error;
  const {kind, retryAfterMs, message} = error;
  return new ServingError(message, {kind, retryAfterMs, run: 'unknown', cause: error});
}
