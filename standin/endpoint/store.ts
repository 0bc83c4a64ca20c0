/** The SQL of a stand-in endpoint: an in-memory SQLite database and statements run against it. */

import type { Database, SqlJsStatic, SqlValue } from 'sql.js'

interface Rows {
  readonly kind: 'rows'
  readonly columns: readonly string[]
  readonly rows: readonly (readonly SqlValue[])[]
}

interface Counts {
  readonly kind: 'counts'
  readonly affected: number
  readonly insertId: number
}

/** Runs statements one after another; every method leaves no transaction open. */
export class Store {
  private constructor (private readonly sql: SqlJsStatic, private db: Database) {}

  static create (sql: SqlJsStatic): Store {
    return new Store(sql, new sql.Database())
  }

  clear (): void {
    this.db.close()
    this.db = new this.sql.Database()
  }

  /** Runs statements as one transaction and keeps their effect; throws and keeps nothing when one fails. */
  commit (statements: readonly string[]): Rows | Counts {
    return this.inTransaction('COMMIT', statements)
  }

  /**
   * Runs the statements of an open transaction again, and yields the last one's
   * answer without keeping any effect. So no transaction ever blocks another,
   * and two that clash are told so at COMMIT.
   */
  preview (statements: readonly string[]): Rows | Counts {
    return this.inTransaction('ROLLBACK', statements)
  }

  private inTransaction (end: 'COMMIT' | 'ROLLBACK', statements: readonly string[]): Rows | Counts {
    this.db.run('BEGIN')
    try {
      let last: Rows | Counts = { kind: 'counts', affected: 0, insertId: 0 }
      for (const statement of statements) last = this.run(statement)
      this.db.run(end)
      return last
    } catch (err) {
      this.db.run('ROLLBACK')
      throw err
    }
  }

  private run (statement: string): Rows | Counts {
    const prepared = this.db.prepare(statement)
    try {
      const rows: SqlValue[][] = []
      while (prepared.step()) rows.push(prepared.get())
      const columns = prepared.getColumnNames()
      if (columns.length > 0) return { kind: 'rows', columns, rows }
      const insertId = Number(this.db.exec('SELECT last_insert_rowid()')[0]?.values[0]?.[0] ?? 0)
      return { kind: 'counts', affected: this.db.getRowsModified(), insertId: /^\s*insert/i.test(statement) ? insertId : 0 }
    } finally {
      prepared.free()
    }
  }
}
