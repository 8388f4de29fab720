/** Reassembles a snapshot that was split into several records. */
import type {LogBodyOf} from '../records/index.js';

type Part = LogBodyOf<'claims-snapshot'>;

/** Collects the parts of each writer's snapshot; the first part of a newer snapshot discards the older one. */
export class SnapshotAssembler {
  private readonly partsByWriter = new Map<string, readonly Part[]>();

  /**
   * Adds a part.
   * @param writer - Writer of the part's record.
   * @returns The states of all parts in order, once all are present; undefined before.
   */
  addPart(part: Part, writer: string): readonly string[] | undefined {
    const earlier = (this.partsByWriter.get(writer) ?? []).filter(
      other =>
        other.coversOffset === part.coversOffset &&
        other.parts === part.parts &&
        other.part !== part.part,
    );
    const parts = [...earlier, part];
    this.partsByWriter.set(writer, parts);
    if (parts.length < part.parts) return undefined;
    return [...parts].sort((a, b) => a.part - b.part).map(({state}) => state);
  }

  /** Discards the parts of all writers. */
  clear(): void {
    this.partsByWriter.clear();
  }
}
