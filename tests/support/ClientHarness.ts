/** Runs the operators' client as a process against a stand-in of the platform. */
import {spawn} from 'node:child_process';
import t, {type Test} from 'tap';
import {FakePlatformServer} from './FakePlatformServer.js';

const BINARY = 'dist/src/bin/buckthornctl.js';
const KEY = 'deployment-key';

/** Options that name the answers of the first example. */
export const ANSWERS = ['--answers', 'examples/barnehageplass.answers.yaml'];

/** How a run of the client ended. */
export interface ClientResult {
  readonly exitCode: number | null;
  readonly output: string;
  readonly problems: string;
}

/** A run of the client. */
export interface ClientRun {
  readonly args: readonly string[];
  /** What is typed; absent for nothing. */
  readonly input?: string;
  /** Whether the client is told where the platform is; absent for yes. */
  readonly knowsPlatform?: boolean;
}

/** A stand-in of the platform, and the client that works on it. */
export class ClientHarness {
  /** Revision that the only entry has in force. */
  entryRevision = 1;
  private readonly platform = new FakePlatformServer({
    deploymentKey: KEY,
    getEntryRevision: () => this.entryRevision,
  });
  private url = '';

  /**
   * Starts the stand-in for the time of a test.
   * @param test - The test.
   */
  async start(test: Test): Promise<void> {
    this.url = await this.platform.start();
    test.teardown(() => this.platform.stop());
  }

  /**
   * Runs the client and waits for its end.
   * @param run - What to run.
   */
  async run({args, input = '', knowsPlatform = true}: ClientRun): Promise<ClientResult> {
    const settings = knowsPlatform
      ? {BUCKTHORN_LOG_URL: this.url, BUCKTHORN_LIST_URL: this.url}
      : {};
    const child = spawn(process.execPath, [BINARY, ...args], {
      env: {...process.env, ...settings, BUCKTHORN_DEPLOYMENT_KEY: KEY, BUCKTHORN_OPERATOR: 'kari'},
    });
    let output = '';
    let problems = '';
    child.stdout.on('data', data => (output += String(data)));
    child.stderr.on('data', data => (problems += String(data)));
    child.stdin.on('error', () => undefined);
    child.stdin.end(input);
    return new Promise(resolve =>
      child.on('close', exitCode => resolve({exitCode, output, problems})),
    );
  }
}

/** One expected run of the client. */
export interface ClientCase {
  readonly name: string;
  readonly run: ClientRun;
  readonly exitCode: number;
  /** What the output or the problems hold. */
  readonly expected: RegExp;
}

/**
 * Runs cases one after the other against one stand-in.
 * @param name - Name of the test.
 * @param cases - The cases.
 */
export function testClient(name: string, cases: readonly ClientCase[]): void {
  void t.test(name, async t => {
    const harness = new ClientHarness();
    await harness.start(t);
    for (const one of cases) await testCase(t, harness, one);
  });
}

/**
 * Runs one case.
 * @param t - The test around it.
 * @param harness - The client.
 * @param one - The case.
 */
export async function testCase(t: Test, harness: ClientHarness, one: ClientCase): Promise<void> {
  await t.test(one.name, async t => {
    const result = await harness.run(one.run);
    t.match(result.output + result.problems, one.expected);
    t.equal(result.exitCode, one.exitCode, result.problems);
  });
}
