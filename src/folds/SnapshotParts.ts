/** Puts together a snapshot that spans several records. */
import type {LogBodyOf} from '../records/index.js';

type Part = LogBodyOf<'claims-snapshot'>;

/** Collects parts by writer; a writer's newer snapshot replaces its older one. */
export class SnapshotParts {
  private readonly partsByWriter = new Map<string, readonly Part[]>();

  /**
   * Adds a part.
   * @param part - The part.
   * @param writer - Who wrote it.
   * @returns The states of all parts in order, once the last one is there.
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

  /** Drops all parts. */
  clear(): void {
    this.partsByWriter.clear();
  }
}
