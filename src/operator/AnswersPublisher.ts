/** Turns an answers file into a configuration and publishes it; what `buckthornctl questionnaire` and the quickstart do. */
import {randomBytes} from 'node:crypto';
import {ServingError} from '../errors/index.js';
import type {LogAccess} from '../log/index.js';
import {generateConfiguration, readAnswersFile, type GeneratedKey} from '../questionnaire/index.js';
import {ConfigurationStream, type PublishResult} from './ConfigurationStream.js';

/** Options of `publishAnswersFile`. */
export interface PublishAnswersOptions {
  /** Path of a YAML or JSON file. */
  readonly answersPath: string;
  readonly log: LogAccess;
  /** Incarnation of this process in the log; unique. */
  readonly writer: string;
  readonly publishedBy: string;
  readonly getNowMs: () => number;
  readonly timeoutMs: number;
}

/** An accepted configuration, and the keys that were made for it. */
export interface PublishedAnswers extends PublishResult {
  readonly generatedKeys: readonly GeneratedKey[];
}

const KEY_BYTES = 32;

/** Returns a new random bearer key. */
export function createWorkspaceKey(): string {
  return randomBytes(KEY_BYTES).toString('base64url');
}

/**
 * Reads an answers file, generates its configuration and publishes it over the one in force.
 * @param options - The file and the log.
 * @throws ServingError of kind `invalid-settings` for bad answers, `conflict` where another operator was first, `log-unavailable`.
 */
export async function publishAnswersFile(
  options: PublishAnswersOptions,
): Promise<PublishedAnswers> {
  const {answersPath, log, writer, publishedBy, getNowMs, timeoutMs} = options;
  const answers = await readAnswersFile(answersPath, getNowMs());
  const stream = new ConfigurationStream({log, writer, getNowMs, timeoutMs});
  try {
    await stream.open();
    const inForce = stream.getInForce();
    const {configuration, generatedKeys} = generateConfiguration(answers, {
      inForce: inForce.configuration,
      createKey: createWorkspaceKey,
    });
    const result = await stream.publish(configuration, inForce.revision, publishedBy);
    throwUnlessAccepted(result, inForce.revision);
    return {...result, generatedKeys};
  } finally {
    await stream.close();
  }
}

/**
 * Throws where another operator's configuration was first.
 * @param result - The verdict.
 * @param replacesRevision - The revision that the configuration was to replace.
 * @throws ServingError of kind `conflict` naming who won.
 */
export function throwUnlessAccepted(result: PublishResult, replacesRevision: number): void {
  if (result.isAccepted) return;
  const {offset, revision, publishedBy} = result;
  throw new ServingError(
    `refused at offset ${offset}: it replaces revision ${replacesRevision}, but revision ${revision} by ` +
      `"${publishedBy}" is in force; look at the difference and publish again`,
    {kind: 'conflict'},
  );
}
