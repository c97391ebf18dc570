import { serve } from './http.mjs';

/** The cloud of the protocol page: types, a list that lags, rentals and returns. `onRent` and `onReturn` create and end workers. */
export class Cloud {
  constructor(breeds, { lagMs, capacity }, record) {
    this.breeds = breeds;
    this.lagMs = lagMs;
    this.capacity = capacity;
    this.record = record;
    this.machines = new Map();
    this.hires = new Map();
    this.history = [];
    this.next = 1;
    this.onRent = () => undefined;
    this.onReturn = () => undefined;
  }

  async start() {
    this.server = await serve((...request) => this.handle(...request));
    this.address = this.server.address;
    this.snapshot();
    this.timer = setInterval(() => this.snapshot(), 250);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  snapshot() {
    const at = performance.now();
    const list = [...this.machines.values()].map((m) => ({
      id: m.id,
      address: m.address,
      breed: m.breed,
      paddock: m.paddock,
      stray: m.stray,
      standing: m.standing,
      held_s: (at - m.rentedAt) / 1000,
    }));
    this.history.push({ at, list });
    while (this.history.length > 1 && this.history[1].at < at - this.lagMs) this.history.shift();
  }

  add({ breed, paddock, stray, standing, rentedAt = performance.now() }) {
    const id = `m-${String(this.next++).padStart(6, '0')}`;
    const machine = { id, address: '127.0.0.1:9', breed, paddock, stray, standing, rentedAt };
    this.machines.set(id, machine);
    return machine;
  }

  handle(method, path, query, data) {
    if (path === '/catalog') return { status: 200, data: { breeds: this.breeds } };
    if (path === '/rentals/return') {
      for (const id of data.oxen) {
        const machine = this.machines.get(id);
        if (!machine) continue;
        this.record.write('cloud', `returned ${id}`);
        this.machines.delete(id);
        this.onReturn(machine);
      }
      return { status: 200, data: {} };
    }
    if (path === '/rentals' && method === 'POST') return this.rent(data);
    if (path !== '/rentals') return { status: 400, data: {} };
    const since = query.get('since') ?? '';
    const limit = Number(query.get('limit') ?? 500);
    const listed = this.history[0].list.filter((m) => m.id > since).sort((a, b) => (a.id < b.id ? -1 : 1));
    return {
      status: 200,
      data: { oxen: listed.slice(0, limit), truncated: listed.length > limit },
    };
  }

  rent({ hire, breed, paddock, stray, how_many: count }) {
    if (this.hires.has(hire)) return { status: 200, data: { oxen: this.hires.get(hire) } };
    const kind = `${breed}/${paddock}/${stray}`;
    const left = this.capacity[kind] ?? 0;
    const rented = Math.min(count, left);
    if (rented === 0) return { status: 503, data: { error: 'no capacity' } };
    this.capacity[kind] = left - rented;
    const machines = Array.from({ length: rented }, () =>
      this.add({ breed, paddock, stray, standing: 'starting' }),
    );
    const oxen = machines.map((m) => m.id);
    this.hires.set(hire, oxen);
    this.record.write('cloud', `rented ${oxen.join(' ')} (${kind})`);
    for (const machine of machines) this.onRent(machine);
    return { status: 200, data: { oxen } };
  }
}
