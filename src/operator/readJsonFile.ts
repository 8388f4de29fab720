/** Reads the JSON files that operators pass to commands. */
import {readFile} from 'node:fs/promises';
import {ServingError} from '../errors/index.js';

/**
 * Returns the parsed content of a JSON file.
 * @throws ServingError of kind `invalid-settings` if the file can't be read or isn't JSON.
 */
export async function readJsonFile(path: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    throw new ServingError(`"${path}" can't be read as JSON`, {kind: 'invalid-settings', cause});
  }
}
