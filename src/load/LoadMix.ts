/** A mix of requests: whose they are, of which class, and how many arrive when. */
import {readFile} from 'node:fs/promises';
import {parse} from 'yaml';
import {z} from 'zod';
import {ServingError} from '../errors/index.js';

const MAX_PHASE_MS = 600_000;
const MAX_RATE_PER_SECOND = 10_000;

const workspaceSchema = z.strictObject({
  name: z.string().min(1),
  /** Bearer key. */
  key: z.string().min(1),
  /** Relative part of the requests. */
  weight: z.number().positive(),
});

const classSchema = z.strictObject({
  name: z.string().min(1),
  weight: z.number().positive(),
  promptTokens: z.number().int().positive(),
  /** Tokens at the start of a prompt that other requests begin with as well. */
  sharedPrefixTokens: z.number().int().min(0),
  /** Different beginnings that each workspace has. */
  prefixesPerWorkspace: z.number().int().positive(),
  answerTokens: z.number().int().positive(),
});

const phaseSchema = z.strictObject({
  durationMs: z.number().int().positive().max(MAX_PHASE_MS),
  fromRatePerSecond: z.number().min(0).max(MAX_RATE_PER_SECOND),
  toRatePerSecond: z.number().min(0).max(MAX_RATE_PER_SECOND),
});

const mixSchema = z.strictObject({
  model: z.string().min(1),
  workspaces: z.array(workspaceSchema).min(1),
  classes: z.array(classSchema).min(1),
  /** Phases after each other; the rate goes evenly from one bound to the other. */
  ramp: z.array(phaseSchema).min(1),
});

/** A mix of requests. */
export type LoadMix = z.infer<typeof mixSchema>;
/** A class of requests within a mix. */
export type LoadClass = z.infer<typeof classSchema>;
/** A workspace within a mix. */
export type LoadWorkspace = z.infer<typeof workspaceSchema>;
/** A phase of a ramp. */
export type LoadPhase = z.infer<typeof phaseSchema>;

/**
 * Reads a mix file.
 * @param path - YAML or JSON.
 * @throws ServingError of kind `invalid-settings` naming the file and what is wrong.
 */
export async function readMix(path: string): Promise<LoadMix> {
  const text = await readFile(path, 'utf8').catch((cause: unknown) => {
    throw new ServingError(`mix file ${path} can't be read`, {kind: 'invalid-settings', cause});
  });
  return parseMix(text, path);
}

/**
 * Parses a mix.
 * @param text - YAML or JSON.
 * @param path - File to name in messages.
 * @throws ServingError of kind `invalid-settings`.
 */
export function parseMix(text: string, path: string): LoadMix {
  let value: unknown;
  try {
    value = parse(text);
  } catch (cause) {
    throw new ServingError(`mix file ${path} is not YAML`, {kind: 'invalid-settings', cause});
  }
  const parsed = mixSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [{path: field, message}] = parsed.error.issues;
  throw new ServingError(`mix file ${path}: ${field.join('.')}: ${message}`, {
    kind: 'invalid-settings',
  });
}
