/** Hash of the beginning of a prompt (FNV-1a, 32 bits). The only effect of a collision is a prefix cache miss. */
export function promptHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}
