/** Asks for another workspace's answer. */
import {request} from 'undici';

/** What another workspace got, and what the owner got at the same place. */
export interface SpyRecord {
  readonly place: string;
  readonly status: number;
  readonly text: string;
  readonly ownerStatus: number;
  readonly ownerText: string;
}

/**
 * Asks as another workspace and then as the owner.
 * @param place - URL of the answer.
 * @param spyKey - Bearer key of the other workspace.
 * @param ownerKey - Bearer key of the owner.
 */
export async function spyOnCall(
  place: string,
  spyKey: string,
  ownerKey: string,
): Promise<SpyRecord> {
  const spied = await get(place, spyKey);
  const owned = await get(place, ownerKey);
  return {place, ...spied, ownerStatus: owned.status, ownerText: owned.text};
}

async function get(url: string, key: string) {
  const {statusCode, body} = await request(url, {headers: {authorization: `Bearer ${key}`}});
  return {status: statusCode, text: await body.text()};
}
