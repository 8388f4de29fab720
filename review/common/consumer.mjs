/** Stand-in of a consumer, as PROTOCOL.md describes one under `Ingress`: it asks the directory and keeps the answer. */
import {newAttemptId, send, sleep} from './world.mjs';

const DIRECTORY_TIMEOUT_MS = 1000;
const TTL_MAX_MS = 5000;

/** A consumer. `patience` is 1, or 3 for one that keeps an answer three times as long as the directory says. */
export class Consumer {
  addresses = [];
  validUntilMs = 0;

  constructor(world, {name, zone, key, patience = 1}) {
    Object.assign(this, {world, name, zone, key, patience});
  }

  /** Asks up to three directories; an answer that can't be renewed is kept. */
  async resolve() {
    if (Date.now() < this.validUntilMs) return;
    const directories = this.world.gateways
      .map(({directory}) => directory)
      .sort(() => Math.random() - 0.5)
      .slice(0, 3);
    for (const directory of directories) {
      const path = `/v1/resolve?name=${this.name}&region=r1&zone=${this.zone}`;
      const {status, body} = await send(directory, {path, timeoutMs: DIRECTORY_TIMEOUT_MS});
      const answer = status === 200 ? JSON.parse(body.toString()) : {};
      if (!answer.addrs?.length) continue;
      this.addresses = answer.addrs;
      this.validUntilMs = Date.now() + Math.min(answer.ttl_s * 1000, TTL_MAX_MS) * this.patience;
      return;
    }
  }

  /** Resolves until there is a first answer. */
  async start() {
    while (this.addresses.length === 0) {
      await this.resolve();
      if (this.addresses.length === 0) await sleep(50);
    }
  }

  /** Sends one attempt on a new channel; the answer has the attempt's id and the gateway's address with it. */
  async ask({method = 'POST', path, body, headers = {}, deadlineMs = 15_000, address, ...rest}) {
    await this.resolve();
    const id = newAttemptId();
    const target = address ?? this.addresses[Math.floor(Math.random() * this.addresses.length)];
    const answer = await send(target, {
      method, path, body, timeoutMs: deadlineMs + 1000, ...rest,
      headers: {
        host: this.name,
        ...(this.key ? {authorization: `Bearer ${this.key}`} : {}),
        'x-buckthorngw-attempt-id': id,
        'x-buckthorngw-deadline-ms': String(deadlineMs),
        ...headers,
      },
    });
    return Object.assign(answer, {id, address: target});
  }
}
