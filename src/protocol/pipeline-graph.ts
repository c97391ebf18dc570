/**
 * Indices of the steps along a cycle, each of which needs the next; undefined if there is none. Not recursive, because
 * pipeline files can be long.
 */
export function findCycle(needs: readonly (readonly number[])[]): number[] | undefined {
  const state = new Uint8Array(needs.length); // 0: not visited, 1: on the current path, 2: done
  for (let root = 0; root < needs.length; root++) {
    if (state[root] !== 0) continue;
    const path: { readonly step: number; next: number }[] = [{ step: root, next: 0 }];
    state[root] = 1;
    while (path.length > 0) {
      const top = path[path.length - 1]!;
      const neededStep = needs[top.step]![top.next++];
      if (neededStep === undefined) {
        state[top.step] = 2;
        path.pop();
      } else if (neededStep < 0 || neededStep >= needs.length) continue;
      else if (state[neededStep] === 1)
        return path.slice(path.findIndex((visit) => visit.step === neededStep)).map((visit) => visit.step);
      else if (state[neededStep] === 0) {
        state[neededStep] = 1;
        path.push({ step: neededStep, next: 0 });
      }
    }
  }
  return undefined;
}
