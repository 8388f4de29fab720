/** Measures resident memory of idle processes, as the baseline to which the control plane's memory is compared. */
import {execFileSync} from 'node:child_process';

/** Resident memory of a process that only loads its modules. */
export interface ProcessMemory {
  readonly name: string;
  readonly residentMb: number;
}

const BYTES_PER_MB = 1_000_000;
const RUNS = 5;
const MODULES: ReadonlyArray<readonly [string, string | undefined]> = [
  ['bare Node.js', undefined],
  ["buckthorn-entry's modules loaded", './dist/src/entry/index.js'],
  ["buckthorn-fleet's modules loaded", './dist/src/fleet/index.js'],
  ["buckthornctl's modules loaded", './dist/src/operator/index.js'],
];

/** Returns the resident memory of each program as the median of 5 starts. */
export function measureProcessMemory(): readonly ProcessMemory[] {
  return MODULES.map(([name, path]) => {
    const load = path === undefined ? '' : `await import(${JSON.stringify(path)});`;
    const script = `${load} console.log(process.memoryUsage().rss);`;
    const sizes = Array.from({length: RUNS}, () => runScript(script)).sort((a, b) => a - b);
    return {name, residentMb: (sizes[Math.floor(RUNS / 2)] ?? 0) / BYTES_PER_MB};
  });
}

function runScript(script: string): number {
  const args = ['--input-type=module', '-e', script];
  return Number(execFileSync(process.execPath, args, {encoding: 'utf8'}));
}
