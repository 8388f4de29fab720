/** Runs the operators' client `buckthornctl` as a child process against a fake platform. */
import {spawn} from 'node:child_process';
import t, {type Test} from 'tap';
import {FakePlatformServer} from './FakePlatformServer.js';

const BINARY = 'dist/src/bin/buckthornctl.js';
const DEPLOYMENT_KEY = 'deployment-key';

/** Command-line flags that select the answers file of the first example. */
export const ANSWERS = ['--answers', 'examples/barnehageplass.answers.yaml'];

/** Exit code and output of a client process. */
export interface ClientResult {
  readonly exitCode: number | null;
  /** Standard output. */
  readonly output: string;
  /** Standard error. */
  readonly errorOutput: string;
}

/** Arguments and input of a client process. */
export interface ClientRun {
  readonly args: readonly string[];
  /** Text written to standard input; undefined for none. */
  readonly input?: string;
  /** Whether the environment holds the URLs of log and list; true if undefined. */
  readonly hasPlatformUrls?: boolean;
}

/** Starts a fake platform and runs client processes against it. */
export class ClientHarness {
  /** Configuration revision that the only entry reports as in force. */
  entryRevision = 1;
  private readonly platform = new FakePlatformServer({
    deploymentKey: DEPLOYMENT_KEY,
    getEntryRevision: () => this.entryRevision,
  });
  private url = '';

  /**
   * Starts the fake platform.
   * @param test - Its teardown stops the platform.
   */
  async start(test: Test): Promise<void> {
    this.url = await this.platform.start();
    test.teardown(() => this.platform.stop());
  }

  /** Runs the client and waits until it exits. */
  async run({args, input = '', hasPlatformUrls = true}: ClientRun): Promise<ClientResult> {
    const settings = hasPlatformUrls
      ? {BUCKTHORN_LOG_URL: this.url, BUCKTHORN_LIST_URL: this.url}
      : {};
    const child = spawn(process.execPath, [BINARY, ...args], {
      env: {
        ...process.env,
        ...settings,
        BUCKTHORN_DEPLOYMENT_KEY: DEPLOYMENT_KEY,
        BUCKTHORN_OPERATOR: 'kari',
      },
    });
    let output = '';
    let errorOutput = '';
    child.stdout.on('data', data => (output += String(data)));
    child.stderr.on('data', data => (errorOutput += String(data)));
    child.stdin.on('error', () => undefined);
    child.stdin.end(input);
    return new Promise(resolve =>
      child.on('close', exitCode => resolve({exitCode, output, errorOutput})),
    );
  }
}

/** A client run with its expected outcome. */
export interface ClientCase {
  readonly name: string;
  readonly run: ClientRun;
  readonly exitCode: number;
  /** Pattern that standard output followed by standard error must match. */
  readonly expected: RegExp;
}

/**
 * Defines a test whose subtests run the cases in order against one fake platform, so later cases see earlier effects.
 * @param name - Title of the test.
 */
export function testClient(name: string, cases: readonly ClientCase[]): void {
  void t.test(name, async t => {
    const harness = new ClientHarness();
    await harness.start(t);
    for (const one of cases) await testCase(t, harness, one);
  });
}

/** Runs one case as a subtest and checks its output and exit code. */
export async function testCase(t: Test, harness: ClientHarness, one: ClientCase): Promise<void> {
  await t.test(one.name, async t => {
    const result = await harness.run(one.run);
    t.match(result.output + result.errorOutput, one.expected);
    t.equal(result.exitCode, one.exitCode, result.errorOutput);
  });
}
