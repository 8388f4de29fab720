/** Child process that runs a compiled binary and reports with a line of JSON that it is ready. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** Options of a `ManagedProcess`. */
export interface ManagedProcessOptions {
  /** Name of the process in error messages. */
  readonly name: string;
  /** Path of the compiled binary. */
  readonly binary: string;
  readonly args: readonly string[];
  /** The process is killed if it isn't ready by then. */
  readonly readyTimeoutMs: number;
  /** File to which the standard error of the process is appended; absent for none. */
  readonly logPath?: string;
}

/** Line of JSON that a binary prints when it is ready, with the ports that it listens on. */
export interface ReadyLine {
  readonly ready: true;
  readonly port?: number;
  readonly peerPort?: number;
  readonly ports?: Readonly<Record<'log' | 'cloud' | 'list' | 'weights', number>>;
}

const MAX_ERROR_TEXT_LENGTH = 4_000;
const children = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** Starts and stops one process; a process that is still running is killed when this one exits. */
export class ManagedProcess {
  private readonly options: ManagedProcessOptions;
  private child: ChildProcess | undefined;
  private readyLine: ReadyLine | undefined;
  private errorText = '';

  constructor(options: ManagedProcessOptions) {
    this.options = options;
  }

  /** Starts the process and waits for its ready line; throws with the last error output if it ends before. */
  async start(): Promise<ReadyLine> {
    const {binary, args, logPath} = this.options;
    const child = spawn(process.execPath, [binary, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
    this.child = child;
    children.add(child);
    child.once('exit', () => children.delete(child));
    child.stderr.on('data', (data: Buffer) => {
      this.errorText = (this.errorText + data.toString()).slice(-MAX_ERROR_TEXT_LENGTH);
    });
    if (logPath !== undefined) child.stderr.pipe(createWriteStream(logPath, {flags: 'a'}));
    this.readyLine = await this.waitForReadyLine(child);
    return this.readyLine;
  }

  /** Returns the ready line; throws if the process isn't ready yet. */
  getReadyLineOrThrow(): ReadyLine {
    if (!this.readyLine) throw new Error(`${this.options.name} is not ready`);
    return this.readyLine;
  }

  /** Returns whether the process has printed its ready line, also after it has ended. */
  isReady(): boolean {
    return this.readyLine !== undefined;
  }

  /** Returns whether the process is running; a process stopped by SIGSTOP counts as running. */
  isRunning(): boolean {
    return (
      this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
    );
  }

  /** Returns the exit code; undefined while the process is running or if a signal ended it. */
  getExitCode(): number | undefined {
    return this.child?.exitCode ?? undefined;
  }

  /** Sends a signal to the process if it is running. */
  sendSignal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child?.kill(signal);
  }

  /** Waits until the process has ended; returns at once if it isn't running. */
  async waitForExit(): Promise<void> {
    if (this.child && this.isRunning()) await once(this.child, 'exit');
  }

  /**
   * Resumes the process if it is stopped by SIGSTOP, and ends it with SIGTERM.
   * @param timeoutMs - Time after which the process is killed.
   * @returns Whether the process ended without being killed.
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
    if (!child.stdout) throw new Error(`${name} has no standard output`);
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
