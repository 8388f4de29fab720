/** A process of a scenario: started from a compiled binary, awaited until it is ready, stopped by its id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** How a process is started. */
export interface ManagedProcessOptions {
  /** Name for messages. */
  readonly name: string;
  /** Path of the compiled binary. */
  readonly binary: string;
  readonly args: readonly string[];
  readonly readyTimeoutMs: number;
  /** File that takes what the process logs; absent for none. */
  readonly logPath?: string;
}

/** The line that a binary prints when it is ready. */
export interface ReadyLine {
  readonly ready: true;
  readonly port?: number;
  readonly peerPort?: number;
  readonly ports?: Readonly<Record<'log' | 'cloud' | 'list' | 'weights', number>>;
}

const KEPT_ERROR_BYTES = 4_000;
const children = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** Runs one process. */
export class ManagedProcess {
  private readonly options: ManagedProcessOptions;
  private child: ChildProcess | undefined;
  private readyLine: ReadyLine | undefined;
  private errorText = '';

  constructor(options: ManagedProcessOptions) {
    this.options = options;
  }

  /** Starts the process and waits for its ready line. */
  async start(): Promise<ReadyLine> {
    const {binary, args, logPath} = this.options;
    const child = spawn(process.execPath, [binary, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
    this.child = child;
    children.add(child);
    child.once('exit', () => children.delete(child));
    child.stderr.on('data', (data: Buffer) => {
      this.errorText = (this.errorText + data.toString()).slice(-KEPT_ERROR_BYTES);
    });
    if (logPath !== undefined) child.stderr.pipe(createWriteStream(logPath, {flags: 'a'}));
    this.readyLine = await this.waitForReadyLine(child);
    return this.readyLine;
  }

  /** Returns the ready line. */
  getReadyLineOrThrow(): ReadyLine {
    if (!this.readyLine) throw new Error(`${this.options.name} is not ready`);
    return this.readyLine;
  }

  /** Tells whether the process has printed its ready line. */
  isReady(): boolean {
    return this.readyLine !== undefined;
  }

  /** Tells whether the process runs. */
  isRunning(): boolean {
    return (
      this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
    );
  }

  /** Returns the exit code; undefined while it runs or after a signal ended it. */
  getExitCode(): number | undefined {
    return this.child?.exitCode ?? undefined;
  }

  /**
   * Sends a signal to the process, where it runs.
   * @param signal - The signal.
   */
  sendSignal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child?.kill(signal);
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<void> {
    if (this.child && this.isRunning()) await once(this.child, 'exit');
  }

  /**
   * Asks the process to stop, and kills it after a time.
   * @param timeoutMs - Time after which it is killed.
   * @returns Whether it stopped by itself.
   */
  async stop(timeoutMs: number): Promise<boolean> {
    if (!this.isRunning()) return true;
    let isKilled = false;
    const timer = setTimeout(() => {
      isKilled = true;
      this.sendSignal('SIGKILL');
    }, timeoutMs);
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGTERM');
    await this.waitForExit();
    clearTimeout(timer);
    return !isKilled;
  }

  private async waitForReadyLine(child: ChildProcess): Promise<ReadyLine> {
    const {name, readyTimeoutMs} = this.options;
    if (!child.stdout) throw new Error(`${name} has no output`);
    const lines = createInterface({input: child.stdout});
    const timer = setTimeout(() => child.kill('SIGKILL'), readyTimeoutMs);
    try {
      for await (const line of lines) {
        const parsed = parseReadyLine(line);
        if (parsed) return parsed;
      }
    } finally {
      clearTimeout(timer);
      child.stdout.resume();
    }
    throw new Error(`${name} ended before it was ready: ${this.errorText}`);
  }
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    const value = JSON.parse(line) as ReadyLine;
    return value.ready ? value : undefined;
  } catch {
    return undefined;
  }
}
