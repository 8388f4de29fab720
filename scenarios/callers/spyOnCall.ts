/** Attempt of one workspace to read a response of another. */
import {request} from 'undici';

/** Responses to another workspace (`status`, `text`) and to the owner at the same URL. */
export interface SpyRecord {
  readonly url: string;
  readonly status: number;
  readonly text: string;
  readonly ownerStatus: number;
  readonly ownerText: string;
}

/**
 * Requests a recorded response with the key of another workspace, and then with the owner's key.
 * @param spyKey - Bearer key of the other workspace.
 * @param ownerKey - Bearer key of the owner.
 */
export async function spyOnCall(url: string, spyKey: string, ownerKey: string): Promise<SpyRecord> {
  const spyResponse = await getResponse(url, spyKey);
  const ownerResponse = await getResponse(url, ownerKey);
  return {url, ...spyResponse, ownerStatus: ownerResponse.status, ownerText: ownerResponse.text};
}

async function getResponse(url: string, key: string) {
  const {statusCode, body} = await request(url, {headers: {authorization: `Bearer ${key}`}});
  return {status: statusCode, text: await body.text()};
}
