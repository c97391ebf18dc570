; A small site on one machine: gorseyoke appliance up --site deploy/site.sexp
; Every setting, with a remark, stands in what "gorseyoke appliance init" writes.

(site home)
(data "../gorseyoke-site/data")
(port 8080)
(cpus 4)
(memory-gb 8)
(team main)
