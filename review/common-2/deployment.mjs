/** Starts a small deployment on loopback addresses: stand-ins in this process, gateways as processes of their own. */
import {spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, Agent, request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {CloudStandIn} from './cloud.mjs';
import {ReplicaStandIn} from './replica.mjs';
import {StoreStandIn} from './store.mjs';

export const ROOT = resolve(fileURLToPath(import.meta.url), '../../..');
const HEARTBEAT_MS = 1_200;
const RESTART_DELAY_MS = 500;
const READY_TIMEOUT_MS = 20_000;
const HOST = 'review.example';

export const sleep = ms => new Promise(resolveSleep => setTimeout(resolveSleep, ms));

/** Lines of `record.txt`, with the time since the start. */
export class Record {
  constructor(folder) {
    this.startedAtMs = Date.now();
    this.stream = createWriteStream(join(folder, 'record.txt'));
  }

  write(event, fields = {}) {
    const seconds = ((Date.now() - this.startedAtMs) / 1_000).toFixed(3);
    this.stream.write(`${seconds} ${event} ${JSON.stringify(fields)}\n`);
  }

  close() {
    return new Promise(resolveClose => this.stream.end(resolveClose));
  }
}

async function isFree(ip, port) {
  return new Promise(resolveFree => {
    const server = createServer();
    server.once('error', () => resolveFree(false));
    server.listen(port, ip, () => server.close(() => resolveFree(true)));
  });
}

/** Returns the first of `count` consecutive ports that are free on all addresses. */
async function findPorts(ips, count) {
  for (let tries = 0; tries < 100; tries += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    let areFree = true;
    for (const ip of ips) {
      for (let port = first; port < first + count && areFree; port += 1) {
        areFree = await isFree(ip, port);
      }
    }
    if (areFree) return first;
  }
  throw new Error('no free ports');
}

/** The `run` line of the deploy file. */
function getRunLine() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (line === undefined) throw new Error('no run line in deploy/system.toml');
  return line.split(' ');
}

/** One gateway, which is started again when it ends, as the platform does. */
class GatewayProcess {
  constructor(options) {
    Object.assign(this, options);
    this.starts = 0;
    this.ends = [];
    this.isWanted = true;
  }

  start() {
    const path = join(this.folder, `${this.node}.json`);
    writeFileSync(path, JSON.stringify({...this.settings, bootstrap: this.starts === 0}));
    const [command, ...args] = getRunLine();
    const log = createWriteStream(join(this.folder, `${this.node}.log`), {flags: 'a'});
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, HOME: process.env.HOME, BUCKTHORNGW_CONFIG: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.starts += 1;
    this.errorText = '';
    this.child.stdout.pipe(log);
    this.child.stderr.on('data', chunk => {
      this.errorText = (this.errorText + chunk).slice(-4_000);
    });
    this.record.write('gateway started', {node: this.node, start: this.starts});
    this.child.once('exit', (code, signal) => this.handleExit(code, signal));
  }

  handleExit(code, signal) {
    const error = /^\w*Error.*$/m.exec(this.errorText)?.[0];
    this.ends.push({atMs: Date.now(), code, signal, error});
    this.record.write('gateway ended', {node: this.node, code, signal, error});
    if (this.isWanted) this.restartTimer = setTimeout(() => this.start(), RESTART_DELAY_MS);
  }

  signal(name) {
    this.record.write('signal', {node: this.node, name});
    this.child.kill(name);
  }

  async stop() {
    this.isWanted = false;
    clearTimeout(this.restartTimer);
    if (!this.child || this.child.exitCode !== null || this.child.signalCode !== null) return;
    const hasEnded = new Promise(resolveEnd => this.child.once('exit', resolveEnd));
    this.child.kill('SIGKILL');
    await hasEnded;
  }
}

/** Store, duty calls, replicas and gateways. */
export class Deployment {
  /**
   * @param folder - Folder of the case, for `record.txt`.
   * @param gateways - Number of gateways.
   * @param replicas - Options of each plain replica, with its `service`.
   * @param configuration - Called with the host name; returns the operator's configuration.
   */
  constructor({folder, gateways, replicas, configuration, bounds = {}}) {
    this.folder = folder;
    this.record = new Record(folder);
    this.temporary = mkdtempSync(join(tmpdir(), 'review-'));
    this.gatewayCount = gateways;
    this.replicaOptions = replicas;
    this.configuration = configuration;
    this.bounds = bounds;
    this.host = HOST;
    this.store = new StoreStandIn();
    this.cloud = new CloudStandIn((event, fields) => this.record.write(event, fields));
    this.replicas = [];
    this.gateways = [];
    this.agents = [];
  }

  async start() {
    const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const platformIp = `${net}.1`;
    const gatewayIps = Array.from({length: this.gatewayCount}, (_, index) => `${net}.${10 + index}`);
    const replicaIps = this.replicaOptions.map((_, index) => `${net}.${100 + index}`);
    const port = await findPorts([platformIp, ...gatewayIps, ...replicaIps], 8);
    await this.store.listen(platformIp, port);
    await this.cloud.listen(platformIp, port + 1);
    this.store.put('keyed.op', 'config', this.configuration(this.host));
    for (const [index, options] of this.replicaOptions.entries()) {
      const {service, ...rest} = options;
      const replica = new ReplicaStandIn({
        id: `i-${index + 1}`,
        record: (event, fields) => this.record.write(event, fields),
        ...rest,
      });
      await replica.listen(replicaIps[index], port);
      this.replicas.push(replica);
      this.register(replica, service);
    }
    for (const [index, ip] of gatewayIps.entries()) {
      this.gateways.push(this.createGateway(index, ip, gatewayIps, platformIp, port));
    }
    for (const gateway of this.gateways) gateway.start();
    await this.waitUntilReady();
  }

  register(replica, service) {
    const bornMs = Date.now();
    const put = () =>
      this.store.put('keyed.servers', replica.id, {
        service,
        addr: replica.address,
        zone: 'zone-a',
        version: 'v1',
        slots: 32,
        state: 'ready',
        cold_left_ms: 0,
        call_seq: 0,
        born: bornMs,
      });
    put();
    replica.heartbeat = setInterval(put, HEARTBEAT_MS);
  }

  createGateway(index, ip, gatewayIps, platformIp, port) {
    const node = `edge-${index + 1}`;
    const settings = {
      node,
      role: 'entry',
      class: 'edge',
      serves: ['edge', 'directory', 'control'],
      ip,
      zone: 'zone-a',
      region: 'region-a',
      zones: {'zone-a': 'region-a'},
      listen: {
        front: `${ip}:${port + 2}`,
        ready: `${ip}:${port + 3}`,
        control: `${ip}:${port + 4}`,
        directory: `${ip}:${port + 5}`,
      },
      port_range: [port + 6, port + 7],
      seeds: gatewayIps.slice(0, 3).map(seedIp => `${seedIp}:${port + 4}`),
      limits: {cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4_100},
      bounds: {
        drain_ms: 2_000,
        grace_s: 8,
        lost_slack_ms: 200,
        apply_ms: 2_000,
        revoke_ms: 5_000,
        retry_ratio: 0.2,
        retry_window_s: 10,
        retry_slack: 58,
        quota_overage: 0.1,
        canary_share: 0.1,
        canary_slack: 50,
        lease_ms: 3_000,
        usage_window_s: 5,
        usage_late_s: 10,
        ttl_max_s: 5,
        ...this.bounds,
      },
      provider: {addr: `${platformIp}:${port}`, form: 'log'},
      cloud: {addr: `${platformIp}:${port + 1}`, duties: ['metering', 'autoscale']},
    };
    return new GatewayProcess({node, settings, folder: this.temporary, record: this.record});
  }

  async waitUntilReady() {
    const untilMs = Date.now() + READY_TIMEOUT_MS;
    for (const gateway of this.gateways) {
      while (!(await isReady(gateway.settings.listen.ready))) {
        if (Date.now() > untilMs) throw new Error(`${gateway.node} isn't ready`);
        await sleep(100);
      }
    }
    // The gateways find each other, and `contact_ms` passes.
    await sleep(3_500);
  }

  /** Returns an agent that keeps one channel to a gateway open. */
  openChannel() {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    this.agents.push(agent);
    return agent;
  }

  /**
   * Sends one request of a client, and returns what became of it. The client closes its channel at its deadline.
   * @param deadlineMs - Sent to the gateway, and kept by the client with half a second more.
   */
  send({gateway, agent, id, method = 'POST', path, headers = {}, body = '', deadlineMs}) {
    const [ip, port] = gateway.settings.listen.front.split(':');
    const sentAtMs = Date.now();
    this.record.write('sent', {request: id, to: gateway.node, path, headers: Object.keys(headers)});
    return new Promise(resolveSend => {
      const finish = result => {
        const tookMs = Date.now() - sentAtMs;
        this.record.write('client result', {request: id, ...result, tookMs});
        clearTimeout(timer);
        resolveSend({...result, id, tookMs});
      };
      const request = sendRequest({
        host: ip,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          host: HOST,
          'x-buckthorngw-attempt-id': id,
          'x-buckthorngw-deadline-ms': String(deadlineMs),
          authorization: 'Bearer key-of-tenant-a',
          'content-length': String(Buffer.byteLength(body)),
          ...headers,
        },
      });
      let isDone = false;
      const end = result => {
        if (isDone) return;
        isDone = true;
        finish(result);
      };
      const timer = setTimeout(() => {
        end({kind: 'gave up'});
        request.destroy();
      }, deadlineMs + 500);
      request.on('response', response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () =>
          end({
            kind: 'answer',
            status: response.statusCode,
            stamp: response.headers['x-buckthorngw-replica-stamp'],
            body: Buffer.concat(chunks).toString(),
          }),
        );
        response.on('error', error => end({kind: 'broken answer', error: error.message}));
      });
      request.on('error', error => end({kind: 'closed', error: error.code ?? error.message}));
      request.end(body);
    });
  }

  /** Ends all processes and stand-ins. */
  async stop() {
    await Promise.all(this.gateways.map(gateway => gateway.stop()));
    for (const agent of this.agents) agent.destroy();
    for (const replica of this.replicas) {
      clearInterval(replica.heartbeat);
      replica.close();
    }
    this.store.close();
    this.cloud.close();
    await this.record.close();
    if (process.env.KEEP !== '1') rmSync(this.temporary, {recursive: true, force: true});
    else process.stderr.write(`kept ${this.temporary}\n`);
  }
}

async function isReady(address) {
  const [host, port] = address.split(':');
  return new Promise(resolveReady => {
    const request = sendRequest({host, port: Number(port), path: '/v1/readyz', agent: false});
    request.on('response', response => {
      response.resume();
      resolveReady(response.statusCode === 200);
    });
    request.on('error', () => resolveReady(false));
    request.end();
  });
}

/** Whether the disruption of the case is to happen. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 * @param run - Returns the exit code and a sentence on what was seen.
 */
export async function runCase(deployment, run) {
  let code = 2;
  let text = '';
  try {
    await deployment.start();
    [code, text] = await run(deployment);
  } catch (error) {
    text = `couldn't run: ${error.stack}`;
  }
  deployment.record.write('verdict', {code, text});
  await deployment.stop();
  process.stdout.write(`${text}\n`);
  process.exit(code);
}
