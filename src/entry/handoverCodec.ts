/** Converts handed-over requests to and from messages of the peer service. */
import type {HandedRequest} from '../http/index.js';

/** Fields of a `HandedRequest` message that are read; the others have the same value in every message. */
interface WireHandedRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly requestClass: string;
  readonly path: string;
  readonly body: Uint8Array;
  readonly passedTokens: readonly string[];
  readonly deadlineAtMs: bigint;
}

const CHAT_PATH = '/v1/chat/completions';

/** Converts a message to a handed-over request; the path determines the format of the response. */
export function fromWireHandedRequest(message: WireHandedRequest): HandedRequest {
  const {requestId, workspace, service, requestClass, path, body, passedTokens} = message;
  return {
    requestId,
    workspace,
    service,
    requestClass,
    format: path === CHAT_PATH ? 'chat' : 'text',
    path,
    body: Buffer.from(body),
    passedTokens,
    deadlineAtMs: Number(message.deadlineAtMs),
  };
}

/** Converts a handed-over request to a message. Only streamed JSON requests are handed over. */
export function toWireHandedRequest(request: HandedRequest) {
  const {requestId, workspace, service, requestClass, path, body, passedTokens} = request;
  return {
    requestId,
    workspace,
    service,
    requestClass,
    method: 'POST',
    path,
    contentType: 'application/json',
    body: new Uint8Array(body),
    streamed: true,
    passedTokens: [...passedTokens],
    deadlineAtMs: BigInt(Math.round(request.deadlineAtMs)),
  };
}
