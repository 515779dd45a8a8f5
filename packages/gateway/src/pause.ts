/** Waits for a time, milliseconds. */
export async function pause(durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs));
}
