/** The time that a caller gives its request. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Service} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';

const TIMEOUT_HEADER = 'X-Request-Timeout-Ms';
const POSITIVE_INTEGER = /^[1-9]\d*$/;

/**
 * Returns the timeout of a request: what its caller asks for, and the service's where it asks for none.
 * @param headers - Headers of the request.
 * @param service - The service that it asks for.
 * @throws ServingError of kind `bad-request` where it is no positive integer or more than the service allows.
 */
export function getRequestTimeoutMsOrThrow(
  headers: IncomingHttpHeaders,
  {name, requestTimeoutMs}: Pick<Service, 'name' | 'requestTimeoutMs'>,
): number {
  const asked = headers[TIMEOUT_HEADER.toLowerCase()];
  if (asked === undefined) return requestTimeoutMs;
  const isInteger = typeof asked === 'string' && POSITIVE_INTEGER.test(asked);
  if (isInteger && Number(asked) <= requestTimeoutMs) return Number(asked);
  throw new ServingError(
    `${TIMEOUT_HEADER} must be an integer from 1 to ${requestTimeoutMs}, the timeout of service "${name}"`,
    {kind: 'bad-request'},
  );
}
