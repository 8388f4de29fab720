/** Determines the timeout of a request from its `X-Request-Timeout-Ms` header. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Service} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';

const TIMEOUT_HEADER = 'X-Request-Timeout-Ms';
const POSITIVE_INTEGER = /^[1-9]\d*$/;

/**
 * Returns the timeout in milliseconds that the caller requests in the header, or the service's timeout if there is no
 * header.
 * @param headers - Headers of the request.
 * @param service - Requested service, whose timeout is the upper limit.
 * @throws ServingError of kind `bad-request` if the header is not a positive integer or exceeds the service's timeout.
 */
export function getRequestTimeoutMsOrThrow(
  headers: IncomingHttpHeaders,
  {name, requestTimeoutMs}: Pick<Service, 'name' | 'requestTimeoutMs'>,
): number {
  const header = headers[TIMEOUT_HEADER.toLowerCase()];
  if (header === undefined) return requestTimeoutMs;
  const isInteger = typeof header === 'string' && POSITIVE_INTEGER.test(header);
  if (isInteger && Number(header) <= requestTimeoutMs) return Number(header);
  throw new ServingError(
    `${TIMEOUT_HEADER} must be an integer from 1 to ${requestTimeoutMs}, the timeout of service "${name}"`,
    {kind: 'bad-request'},
  );
}
